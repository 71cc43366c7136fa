#pragma once

#include "control/types/revisionreport.h"
#include "framework/types/ids.h"

#include <string>
#include <vector>

namespace lavendertally::configuration {
struct ConfigurationView;
struct FileDiagnostics;
struct OperationOutcome;
} // namespace lavendertally::configuration

namespace lavendertally::http {
class IHttpExchange;
}

namespace lavendertally::frontend {

/// Replies with an error that has no diagnostics.
/// \param status HTTP status code
/// \param code machine-readable error code
/// \param message human-readable explanation
void replyError(http::IHttpExchange &exchange, int status, const std::string &code,
                const std::string &message);

/// Replies that the files of a change are invalid, with the place of each fault.
void replyDiagnostics(http::IHttpExchange &exchange,
                      const configuration::FileDiagnostics &diagnostics);

/// Replies with the verdict on a change: status 200 if it was accepted, 409 if not.
void replyVerdict(http::IHttpExchange &exchange, const configuration::OperationOutcome &verdict);

void replyRevision(http::IHttpExchange &exchange, framework::LogOffset revision);

void replyStatus(http::IHttpExchange &exchange, const configuration::ConfigurationView &view,
                 const std::vector<control::RevisionReport> &reports);

} // namespace lavendertally::frontend
