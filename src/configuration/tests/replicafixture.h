#pragma once

#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "configuration/types/configurationview.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::configuration {

using FileChanges = std::map<std::string, std::optional<std::string>>;

inline OperatorChange applyChange(const std::string &operation, std::uint64_t base,
                                  FileChanges files)
{
    return {framework::OperationId(operation),
            ApplyFiles{framework::LogOffset(base), std::move(files)}};
}

inline OperatorChange zoneChange(const std::string &operation, const std::string &zone, bool out)
{
    return {framework::OperationId(operation),
            SetZoneOutOfService{framework::AvailabilityZoneId(zone), out}};
}

inline OperatorChange hostChange(const std::string &operation, const std::string &host, bool out)
{
    return {framework::OperationId(operation), SetHostOutOfService{framework::HostId(host), out}};
}

/// In-memory control stream.
class RecordLog
{
public:
    void append(const ControlRecordContent &content)
    {
        appendText(m_codec->encode(content).value());
    }
    void appendText(std::string data)
    {
        m_records.push_back({framework::LogOffset(m_records.size()), std::move(data)});
    }
    /// \return the records with offsets in [from, to)
    std::vector<ControlRecord> page(std::uint64_t from, std::uint64_t to) const
    {
        return {m_records.begin() + static_cast<std::ptrdiff_t>(from),
                m_records.begin() + static_cast<std::ptrdiff_t>(to)};
    }
    std::vector<ControlRecord> all() const { return m_records; }
    std::uint64_t end() const { return m_records.size(); }
    const ControlRecord &at(std::uint64_t offset) const { return m_records.at(offset); }

private:
    std::unique_ptr<IControlRecordCodec> m_codec = ConfigurationModule::makeRecordCodec();
    std::vector<ControlRecord> m_records;
};

inline std::uint64_t revisionOf(const IConfigurationReplica &replica)
{
    return replica.current()->revision.value();
}

inline std::optional<OperationOutcome> outcomeOf(const IConfigurationReplica &replica,
                                                 const std::string &operation)
{
    return replica.outcome(framework::OperationId(operation));
}

} // namespace lavendertally::configuration
