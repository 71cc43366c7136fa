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

/// Replies with an error without diagnostics.
/// \param code word for programs
/// \param message sentence for people
void replyError(http::IHttpExchange &exchange, int status, const std::string &code,
                const std::string &message);

/// Replies that files are invalid.
void replyDiagnostics(http::IHttpExchange &exchange,
                      const configuration::FileDiagnostics &diagnostics);

/// Replies what became of a change.
void replyVerdict(http::IHttpExchange &exchange, const configuration::OperationOutcome &verdict);

void replyRevision(http::IHttpExchange &exchange, framework::LogOffset revision);

void replyStatus(http::IHttpExchange &exchange, const configuration::ConfigurationView &view,
                 const std::vector<control::RevisionReport> &reports);

} // namespace lavendertally::frontend
