#pragma once

#include "protocol/types/crashevidence.h"

#include <vector>

namespace lavendertally::control {

/// What an entry knows about prompt parts that crash backend servers, as it goes along with the
/// queries for revisions among entries.
class ICrashEvidenceExchange
{
public:
    virtual ~ICrashEvidenceExchange() = default;

    /// \return the newest evidence, at most protocol::CrashEvidence::MaxInControlMessage
    virtual std::vector<protocol::CrashEvidence> newest() const = 0;

    /// Evidence of another entry arrived.
    virtual void receive(const std::vector<protocol::CrashEvidence> &evidence) = 0;
};

} // namespace lavendertally::control
