#pragma once

#include "configurationcheck/types/configurationdraft.h"
#include "configurationcheck/types/finding.h"
#include "platform/internal/wireentrynames.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <vector>

namespace lavendertally::platform {

class EntryReader;

/// Decodes the platform's configuration and collects all problems of its encoding.
class ConfigurationDecoder
{
public:
    /// \param text the operators' configuration as the store holds it
    explicit ConfigurationDecoder(std::string_view text);

    /// \return what could be read; a bad member has its default
    configurationcheck::ConfigurationDraft &draft() { return m_draft; }
    const WireEntryNames &names() const { return m_names; }
    /// \return problems of the encoding: errors, and warnings about what the draft cannot hold
    const std::vector<configurationcheck::Finding> &findings() const { return m_findings; }

private:
    void readConfiguration(const nlohmann::json &json);
    void readRoute(const nlohmann::json &json, const std::string &path);
    serving::RouteKind readKind(EntryReader &fields);
    std::vector<serving::TrafficShare> readSplit(EntryReader &fields);
    std::vector<serving::StagePlan> readStages(EntryReader &fields);
    std::vector<std::size_t> readAfter(EntryReader &stage);
    void readService(const nlohmann::json &json, const std::string &path);
    serving::StagePool readPool(const nlohmann::json &json, const std::string &path);
    void readLimits(const nlohmann::json &json);
    void readTeams(EntryReader &fields);
    void readTeam(const nlohmann::json &json, const std::string &path);

    configurationcheck::ConfigurationDraft m_draft;
    WireEntryNames m_names;
    std::vector<configurationcheck::Finding> m_findings;
};

} // namespace lavendertally::platform
