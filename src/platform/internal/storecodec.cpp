#include "platform/internal/storecodec.h"

#include "platform/types/storeerror.h"

#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>

namespace lavendertally::platform {

namespace {

constexpr std::size_t OffsetSize = 8;
constexpr std::size_t LengthSize = 4;
constexpr int BitsPerByte = 8;

std::uint64_t readNumber(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (const char byte : bytes) {
        number = (number << BitsPerByte) | static_cast<unsigned char>(byte);
    }
    return number;
}

void appendLength(std::string &target, std::size_t length)
{
    for (std::size_t index = LengthSize; index > 0; --index) {
        target += static_cast<char>((length >> (BitsPerByte * (index - 1))) & 0xff);
    }
}

/// \return the record, or one with an empty key if its bytes make no sense
protocol::TopicRecord decodeRecord(std::string_view bytes, framework::LogOffset offset)
{
    const std::size_t keySize = bytes.empty() ? 0 : static_cast<unsigned char>(bytes.front());
    protocol::TopicRecord record;
    record.offset = offset;
    if (bytes.size() < 1 + keySize) {
        return record;
    }
    record.key = bytes.substr(1, keySize);
    const std::string_view value = bytes.substr(1 + keySize);
    if (!value.empty()) {
        record.value = std::string(value);
    }
    return record;
}

/// \return the bytes, or nothing if \p text is no base64
std::optional<std::string> decodeBase64(std::string text)
{
    using namespace boost::archive::iterators;
    constexpr int BitsPerDigit = 6;
    using Decoder =
        transform_width<binary_from_base64<std::string::const_iterator>, BitsPerByte, BitsPerDigit>;
    const std::size_t content = text.find_last_not_of('=') + 1;
    const std::size_t padding = text.size() - content;
    text.replace(content, padding, padding, 'A');
    try {
        std::string bytes(Decoder(text.cbegin()), Decoder(text.cend()));
        bytes.resize(bytes.size() - std::min(padding, bytes.size()));
        return bytes;
    } catch (const dataflow_exception &) {
        return std::nullopt;
    }
}

} // namespace

framework::Result<StoreChanges> decodeChanges(std::string_view body, framework::LogOffset from)
{
    if (body.size() < 2 * OffsetSize) {
        return framework::leaf::new_error(StoreError::Malformed);
    }
    std::string_view rest = body.substr(2 * OffsetSize);
    StoreChanges changes;
    changes.next = from;
    while (!rest.empty()) {
        if (rest.size() < LengthSize) {
            return framework::leaf::new_error(StoreError::Malformed);
        }
        const std::size_t length = readNumber(rest.substr(0, LengthSize));
        rest.remove_prefix(LengthSize);
        if (rest.size() < length) {
            return framework::leaf::new_error(StoreError::Malformed);
        }
        changes.records.push_back(decodeRecord(rest.substr(0, length), changes.next));
        changes.next = changes.next.next();
        rest.remove_prefix(length);
    }
    return changes;
}

framework::Result<StorePage> decodePage(std::string_view body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("items") || !json["items"].is_array()
        || !json.value("endOffset", nlohmann::json()).is_number_unsigned()) {
        return framework::leaf::new_error(StoreError::Malformed);
    }
    StorePage page;
    page.end = framework::LogOffset(json["endOffset"].get<std::uint64_t>());
    const auto more = json.find("hasMore");
    page.hasMore = more != json.end() && more->is_boolean() && more->get<bool>();
    for (const auto &item : json["items"]) {
        const auto key = item.is_object() ? item.find("key") : item.end();
        const auto value = item.is_object() ? item.find("value") : item.end();
        if (key == item.end() || !key->is_string() || value == item.end() || !value->is_string()) {
            return framework::leaf::new_error(StoreError::Malformed);
        }
        // A value that cannot be read is a record nonetheless; its reader refuses it.
        const auto bytes = decodeBase64(value->get<std::string>());
        const auto offset = item.find("offset");
        if (offset == item.end() || !offset->is_number_unsigned()) {
            return framework::leaf::new_error(StoreError::Malformed);
        }
        page.records.push_back({framework::LogOffset(offset->get<std::uint64_t>()),
                                key->get<std::string>(), bytes.value_or(std::string())});
    }
    return page;
}

bool namesOffset(std::string_view body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() && json.value("offset", nlohmann::json()).is_number_unsigned();
}

std::string encodeRecord(const protocol::TopicRecord &record)
{
    std::string content(1, static_cast<char>(record.key.size()));
    content.append(record.key);
    if (record.value) {
        content.append(*record.value);
    }
    std::string bytes;
    appendLength(bytes, content.size());
    return bytes.append(content);
}

} // namespace lavendertally::platform
