#include "standins/weightstandin.h"

#include "http/ihttpexchange.h"
#include "standins/internal/httpstatus.h"
#include "standins/internal/json.h"

#include <string_view>

namespace lavendertally::standins {

namespace {

constexpr std::string_view PathPrefix = "/v1/models/";
constexpr std::string_view PathSuffix = "/weights";
constexpr framework::Milliseconds OneSecond{1000};
constexpr const char *RetryAfterSeconds = "1";

std::string weightsOf(std::string_view model, framework::Bytes size)
{
    std::string result;
    while (result.size() < static_cast<std::size_t>(size.value())) {
        result.append(model);
    }
    result.resize(size.value());
    return result;
}

} // namespace

WeightStandIn::WeightStandIn(framework::IEventLoop &loop, const WeightOptions &options)
    : StandInServer(loop), m_options(options)
{ }

WeightStandIn::~WeightStandIn() = default;

void WeightStandIn::handle(const ExchangePtr &exchange, FaultMode /*mode*/)
{
    std::string_view path = exchange->path();
    if (!path.starts_with(PathPrefix) || !path.ends_with(PathSuffix)
        || path.size() <= PathPrefix.size() + PathSuffix.size()) {
        replyError(*exchange, HttpStatus::NotFound, "not_found");
        return;
    }
    if (!takeAllowance()) {
        exchange->reply(HttpStatus::TooManyRequests, "application/json",
                        R"({"error":{"code":"too_many_downloads"}})",
                        {{"Retry-After", RetryAfterSeconds}});
        return;
    }
    path.remove_prefix(PathPrefix.size());
    path.remove_suffix(PathSuffix.size());
    exchange->reply(HttpStatus::Ok, "application/octet-stream", weightsOf(path, m_options.size));
}

bool WeightStandIn::takeAllowance()
{
    while (!m_recent.empty() && now() - m_recent.front() >= OneSecond) {
        m_recent.pop_front();
    }
    if (m_recent.size() >= m_options.downloadsPerSecond) {
        return false;
    }
    m_recent.push_back(now());
    return true;
}

} // namespace lavendertally::standins
