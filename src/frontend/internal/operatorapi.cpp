#include "frontend/operatorapi.h"

#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationparser.h"
#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "configuration/types/configurationview.h"
#include "configuration/types/filediagnostics.h"
#include "control/ioperatorservice.h"
#include "control/irevisionreports.h"
#include "control/types/operatorerror.h"
#include "framework/types/errorcontext.h"
#include "frontend/internal/operatorreplies.h"
#include "http/ihttpexchange.h"

#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

namespace lavendertally::frontend {

namespace {

using VerdictResult = framework::Result<configuration::OperationOutcome>;

constexpr std::string_view PathPrefix = "/v1/operator/";
constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;
constexpr int HttpMethodNotAllowed = 405;
constexpr int HttpUnavailable = 503;
constexpr int HttpGatewayTimeout = 504;
constexpr framework::Milliseconds DefaultTimeout{10000};
constexpr std::int64_t MaxTimeoutMs = 60000;

/// \return value of timeout_ms or its default, or nothing if the value is invalid
std::optional<framework::Milliseconds> parseTimeout(const http::IHttpExchange &exchange)
{
    const auto text = exchange.query("timeout_ms");
    if (!text) {
        return DefaultTimeout;
    }
    std::int64_t value = 0;
    const char *end = text->data() + text->size();
    const auto [rest, error] = std::from_chars(text->data(), end, value);
    const bool isValid = error == std::errc{} && rest == end && value > 0 && value <= MaxTimeoutMs;
    return isValid ? std::optional(framework::Milliseconds(value)) : std::nullopt;
}

void replyOperatorError(http::IHttpExchange &exchange, control::OperatorError error,
                        const framework::OperationId &operation)
{
    if (error == control::OperatorError::Unavailable) {
        replyError(exchange, HttpUnavailable, "unavailable",
                   "not applied: the log service does not answer");
        return;
    }
    replyError(exchange, HttpGatewayTimeout, "unknown",
               "the change may have been applied; ask again under operation " + operation.value());
}

void replyResult(http::IHttpExchange &exchange, VerdictResult result,
                 const framework::OperationId &operation)
{
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(verdict, std::move(result));
            replyVerdict(exchange, verdict);
            return {};
        },
        [&](control::OperatorError error) { replyOperatorError(exchange, error, operation); },
        // Without an OperatorError the change may have been published, so its outcome is unknown.
        [&] { replyOperatorError(exchange, control::OperatorError::OutcomeUnknown, operation); });
}

} // namespace

OperatorApi::OperatorApi(const configuration::IConfigurationReplica &replica,
                         control::IOperatorService &operators,
                         const control::IRevisionReports &reports)
    : m_replica(replica), m_operators(operators), m_reports(reports),
      m_codec(configuration::ConfigurationModule::makeRecordCodec()),
      m_parser(configuration::ConfigurationModule::makeParser())
{ }

OperatorApi::~OperatorApi() = default;

bool OperatorApi::handle(const std::shared_ptr<http::IHttpExchange> &exchange)
{
    const std::string_view path = exchange->path();
    if (!path.starts_with(PathPrefix)) {
        return false;
    }
    const std::string_view resource = path.substr(PathPrefix.size());
    const bool isChange = resource == "changes";
    if (!isChange && resource != "revision" && resource != "status") {
        replyError(*exchange, HttpNotFound, "not_found", "no such resource");
    } else if ((exchange->method() == http::HttpMethod::Post) != isChange) {
        replyError(*exchange, HttpMethodNotAllowed, "method_not_allowed",
                   isChange ? "use POST" : "use GET");
    } else if (isChange) {
        handleChange(exchange);
    } else if (resource == "revision") {
        replyRevision(*exchange, m_replica.current()->revision);
    } else {
        replyStatus(*exchange, *m_replica.current(), m_reports.reports());
    }
    return true;
}

void OperatorApi::handleChange(const std::shared_ptr<http::IHttpExchange> &exchange)
{
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(content, m_codec->decode(exchange->body()));
            const auto *change = std::get_if<configuration::OperatorChange>(&content);
            if (change == nullptr) {
                replyError(*exchange, HttpBadRequest, "invalid_change",
                           "only a change by an operator is accepted");
            } else if (checkFiles(*exchange, *change)) {
                submit(exchange, *change);
            }
            return {};
        },
        [&](const framework::ErrorContext &context) {
            replyError(*exchange, HttpBadRequest, "invalid_change", context.message);
        },
        [&] { replyError(*exchange, HttpBadRequest, "invalid_change", "not a change"); });
}

bool OperatorApi::checkFiles(http::IHttpExchange &exchange,
                             const configuration::OperatorChange &change) const
{
    const auto *apply = std::get_if<configuration::ApplyFiles>(&change.change);
    if (apply == nullptr) {
        return true;
    }
    std::map<std::string, std::string> files;
    for (const auto &[name, text] : apply->files) {
        if (text) {
            files[name] = *text;
        }
    }
    return framework::leaf::try_handle_all(
        [&]() -> framework::Result<bool> {
            BOOST_LEAF_CHECK(m_parser->checkEachFile(files));
            return true;
        },
        [&](const configuration::FileDiagnostics &diagnostics) {
            replyDiagnostics(exchange, diagnostics);
            return false;
        },
        [&] {
            replyDiagnostics(exchange, {});
            return false;
        });
}

void OperatorApi::submit(const std::shared_ptr<http::IHttpExchange> &exchange,
                         const configuration::OperatorChange &change)
{
    // A retry of a change whose verdict is known is answered without another append to the log.
    if (const auto verdict = m_replica.outcome(change.operation)) {
        replyVerdict(*exchange, *verdict);
        return;
    }
    const auto timeout = parseTimeout(*exchange);
    if (!timeout) {
        replyError(*exchange, HttpBadRequest, "invalid_timeout",
                   "timeout_ms is a whole number of milliseconds from 1 to 60000");
        return;
    }
    m_operators.submit(change, *timeout,
                       [exchange, operation = change.operation](VerdictResult result) {
                           replyResult(*exchange, std::move(result), operation);
                       });
}

} // namespace lavendertally::frontend
