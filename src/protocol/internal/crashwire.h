#pragma once

#include "framework/result.h"
#include "protocol/types/crashreport.h"
#include "protocol/types/evidencefingerprint.h"

#include <optional>
#include <string>
#include <string_view>

namespace lavendertally::protocol::crashwire {

/// Fields about crashes of the envelope of peer.proto, written and read without generated code; the
/// comments of peer.proto have their schema. Appending a field of a message that the envelope has
/// already adds it to that message.

/// Appends to an envelope with a hello that its sender takes crash reports.
void appendTakesCrashReports(std::string &envelope);
/// Appends a fingerprint to an envelope with a pong.
void appendFingerprint(std::string &envelope, EvidenceFingerprint fingerprint);
/// Appends a report to an envelope without a message.
void appendReport(std::string &envelope, const CrashReport &report);

/// \return whether the hello in the envelope tells that its sender takes crash reports
bool takesCrashReports(std::string_view envelope);
/// \return the fingerprint of the pong in the envelope, if it has one
std::optional<EvidenceFingerprint> fingerprint(std::string_view envelope);
/// \return the report in the envelope; ProtocolError if there is none, or if it has too many
/// entries or a value out of range
framework::Result<CrashReport> report(std::string_view envelope);

} // namespace lavendertally::protocol::crashwire
