#include "standins/poolstandin.h"

#include "http/ihttpexchange.h"
#include "standins/internal/httpstatus.h"
#include "standins/internal/json.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lavendertally::standins {

namespace {

constexpr int VectorSize = 8;
constexpr std::uint64_t ComponentRange = 1000;
constexpr std::uint64_t DefaultDocumentCount = 5;
constexpr std::uint64_t MaxDocumentCount = 1000;
constexpr std::uint64_t DocumentRange = 10000;

std::uint64_t hash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

/// \return number of characters of \p query that \p text has too, as a simple likeness
std::size_t overlap(const std::string &query, const std::string &text)
{
    return std::count_if(query.begin(), query.end(),
                         [&](char c) { return text.find(c) != std::string::npos; });
}

/// Changes the order or number of the rows as the fault says.
void disturb(nlohmann::json &rows, FaultMode mode)
{
    if (mode == FaultMode::Reordered) {
        std::reverse(rows.begin(), rows.end());
    }
    if (mode == FaultMode::Doubled) {
        const nlohmann::json copy = rows;
        rows.insert(rows.end(), copy.begin(), copy.end());
    }
}

} // namespace

PoolStandIn::PoolStandIn(framework::IEventLoop &loop, PoolKind kind, const ServiceOptions &options)
    : ServiceStandIn(loop, options), m_kind(kind)
{ }

void PoolStandIn::serve(const ExchangePtr &exchange, FaultMode mode)
{
    const auto call = readObject(*exchange);
    if (!call) {
        return;
    }
    if (m_kind == PoolKind::Encode) {
        replyJson(*exchange, HttpStatus::Ok, encode(*call));
        return;
    }
    nlohmann::json answer = m_kind == PoolKind::Retrieve ? retrieve(*call) : rerank(*call);
    disturb(answer["documents"], mode);
    replyJson(*exchange, HttpStatus::Ok, answer);
}

bool PoolStandIn::knows(const std::string &path) const
{
    switch (m_kind) {
    case PoolKind::Encode:
        return path == "/v1/encode";
    case PoolKind::Retrieve:
        return path == "/v1/retrieve";
    case PoolKind::Rerank:
        return path == "/v1/rerank";
    }
    return false;
}

bool PoolStandIn::actsTwice(const http::IHttpExchange & /*exchange*/) const
{
    return false;
}

nlohmann::json PoolStandIn::encode(const nlohmann::json &call)
{
    const std::string text = textMember(call, "text");
    auto vector = nlohmann::json::array();
    for (int i = 0; i < VectorSize; ++i) {
        vector.push_back(static_cast<double>(hash(text, i) % ComponentRange) / ComponentRange);
    }
    return {{"vector", std::move(vector)}};
}

nlohmann::json PoolStandIn::retrieve(const nlohmann::json &call)
{
    const std::string vector = call.value("vector", nlohmann::json::array()).dump();
    const std::uint64_t count =
        std::min(numberMember(call, "k", DefaultDocumentCount), MaxDocumentCount);
    auto documents = nlohmann::json::array();
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::string id = "d" + std::to_string(hash(vector, i) % DocumentRange);
        documents.push_back({{"id", id}, {"text", "document " + id}});
    }
    return {{"documents", std::move(documents)}};
}

nlohmann::json PoolStandIn::rerank(const nlohmann::json &call)
{
    const std::string query = textMember(call, "query");
    auto rows = call.value("documents", nlohmann::json::array());
    if (!rows.is_array()) {
        rows = nlohmann::json::array();
    }
    std::vector<nlohmann::json> documents(rows.begin(), rows.end());
    std::stable_sort(documents.begin(), documents.end(), [&](const auto &a, const auto &b) {
        return overlap(query, a.dump()) > overlap(query, b.dump());
    });
    return {{"documents", std::move(documents)}};
}

} // namespace lavendertally::standins
