#include "infrastructure/internal/logjson.h"

#include <nlohmann/json.hpp>

namespace lavendertally::infrastructure {

namespace {

std::optional<framework::LogOffset> offsetMember(const nlohmann::json &object, const char *key)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return framework::LogOffset(found->get<std::uint64_t>());
}

std::optional<LogRecord> recordOf(const nlohmann::json &row)
{
    const auto offset = offsetMember(row, "offset");
    if (!offset) {
        return std::nullopt;
    }
    const auto data = row.find("data");
    if (data == row.end() || !data->is_string()) {
        return std::nullopt;
    }
    return LogRecord{*offset, data->get<std::string>()};
}

/// \return records that follow each other from \p from on
std::optional<std::vector<LogRecord>> recordsOf(const nlohmann::json &rows,
                                                framework::LogOffset from)
{
    std::vector<LogRecord> records;
    framework::LogOffset expected = from;
    for (const nlohmann::json &row : rows) {
        auto record = recordOf(row);
        if (!record || record->offset != expected) {
            return std::nullopt;
        }
        records.push_back(std::move(*record));
        expected = expected.next();
    }
    return records;
}

} // namespace

std::string encodeRecords(const std::vector<std::string> &records)
{
    return nlohmann::json{{"records", records}}.dump();
}

std::optional<framework::LogOffset> decodeFirst(const std::string &text)
{
    return offsetMember(nlohmann::json::parse(text, nullptr, false), "first");
}

std::optional<LogPage> decodePage(const std::string &text, framework::LogOffset from,
                                  std::uint32_t limit)
{
    const auto body = nlohmann::json::parse(text, nullptr, false);
    const auto first = offsetMember(body, "first");
    const auto next = offsetMember(body, "next");
    const auto end = offsetMember(body, "end");
    if (!first || !next || !end) {
        return std::nullopt;
    }
    const auto rows = body.find("records");
    if (rows == body.end() || !rows->is_array() || rows->size() > limit) {
        return std::nullopt;
    }
    auto records = recordsOf(*rows, from);
    if (!records) {
        return std::nullopt;
    }
    const framework::LogOffset expectedNext(from.value() + records->size());
    if (*first > from || *next != expectedNext || *end < *next) {
        return std::nullopt;
    }
    return LogPage{*first, *next, *end, std::move(*records)};
}

} // namespace lavendertally::infrastructure
