#include "configurationcheck/internal/findinglist.h"
#include "configurationcheck/internal/iconfigurationrule.h"
#include "configurationcheck/internal/rules.h"
#include "configurationcheck/internal/serviceindex.h"
#include "configurationcheck/keyhash.h"
#include "framework/dependencyorder.h"

#include <unordered_map>

namespace lavendertally::configurationcheck {

namespace {

class DuplicateNameRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext & /*context*/,
               FindingList &findings) const override
    {
        checkList(EntrySection::Routes, draft.routes, findings);
        checkList(EntrySection::Services, draft.services, findings);
        if (draft.teams) {
            checkList(EntrySection::Teams, *draft.teams, findings);
        }
    }

private:
    template <typename Entry>
    static void checkList(EntrySection section, const std::vector<Entry> &entries,
                          FindingList &findings)
    {
        std::unordered_map<decltype(Entry::id), std::size_t> first;
        for (std::size_t index = 0; index < entries.size(); ++index) {
            const auto [known, isNew] = first.emplace(entries[index].id, index);
            // An entry whose name cannot be read is reported where it is read.
            if (!isNew && !entries[index].id.isEmpty()) {
                findings.add(Rule::DuplicateName, {section, index, EntryField::Name, {}, {}},
                             "entry " + std::to_string(known->second) + " is named "
                                 + entries[index].id.value() + " too");
            }
        }
    }
};

class UnknownServiceRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext & /*context*/,
               FindingList &findings) const override
    {
        const ServiceIndex services(draft);
        for (std::size_t index = 0; index < draft.routes.size(); ++index) {
            const auto &split = draft.routes[index].split;
            for (std::size_t share = 0; share < split.size(); ++share) {
                if (services.find(split[share].service) == nullptr) {
                    findings.add(Rule::UnknownService,
                                 {EntrySection::Routes, index, EntryField::Split, share,
                                  EntryField::Service},
                                 "there is no service " + split[share].service.value());
                }
            }
        }
    }
};

class StageRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext & /*context*/,
               FindingList &findings) const override
    {
        const ServiceIndex services(draft);
        for (std::size_t index = 0; index < draft.routes.size(); ++index) {
            const auto &stages = draft.routes[index].stages;
            checkCycle(stages, index, findings);
            for (std::size_t stage = 0; stage < stages.size(); ++stage) {
                checkPredecessors(
                    stages[stage],
                    {EntrySection::Routes, index, EntryField::Stages, stage, EntryField::After},
                    stages.size(), findings);
                checkPool(
                    services, stages[stage],
                    {EntrySection::Routes, index, EntryField::Stages, stage, EntryField::Service},
                    findings);
            }
        }
    }

private:
    static void checkCycle(const std::vector<serving::StagePlan> &stages, std::size_t route,
                           FindingList &findings)
    {
        const std::vector<std::size_t> cycle =
            framework::findDependencyCycle(serving::predecessors(stages));
        if (cycle.empty()) {
            return;
        }
        std::string way;
        for (const std::size_t stage : cycle) {
            way += std::to_string(stage) + ", ";
        }
        findings.add(
            Rule::StageOrder,
            {EntrySection::Routes, route, EntryField::Stages, cycle.front(), EntryField::After},
            "waits for itself: a cycle of stages " + way + std::to_string(cycle.front()));
    }

    static void checkPredecessors(const serving::StagePlan &plan, const EntryPath &path,
                                  std::size_t count, FindingList &findings)
    {
        for (const std::size_t other : plan.after) {
            if (other >= count) {
                findings.add(Rule::UnknownName, path, "there is no stage " + std::to_string(other));
            }
        }
    }

    static void checkPool(const ServiceIndex &services, const serving::StagePlan &plan,
                          const EntryPath &path, FindingList &findings)
    {
        const serving::ServiceSpec *service = services.find(plan.service);
        if (service == nullptr) {
            findings.add(Rule::UnknownService, path, "there is no service " + plan.service.value());
        } else if (!service->stagePool) {
            findings.add(Rule::StageWithoutPool, path,
                         "service " + plan.service.value() + " has no pool for stages");
        }
    }
};

class DuplicateKeyRule final : public IConfigurationRule
{
public:
    void check(const ConfigurationDraft &draft, const CheckContext & /*context*/,
               FindingList &findings) const override
    {
        if (draft.teams) {
            checkTeams(*draft.teams, findings);
        }
    }

private:
    static void checkTeams(const std::vector<serving::TeamEntry> &teams, FindingList &findings)
    {
        std::unordered_map<framework::ApiKey, std::size_t> owners;
        for (std::size_t team = 0; team < teams.size(); ++team) {
            const auto &keys = teams[team].keys;
            for (std::size_t key = 0; key < keys.size(); ++key) {
                const auto [owner, isNew] = owners.emplace(keys[key], team);
                // A key that one team lists twice has one meaning.
                if (!isNew && owner->second != team) {
                    findings.add(
                        Rule::DuplicateKey,
                        {EntrySection::Teams, team, EntryField::Keys, key, EntryField::None},
                        "teams " + teams[owner->second].id.value() + " and "
                            + teams[team].id.value() + " have the same key "
                            + shortHash(keyHash(keys[key])));
                }
            }
        }
    }
};

} // namespace

ConfigurationRules makeErrorRules()
{
    ConfigurationRules rules;
    rules.push_back(std::make_unique<DuplicateNameRule>());
    rules.push_back(std::make_unique<UnknownServiceRule>());
    rules.push_back(std::make_unique<StageRule>());
    rules.push_back(std::make_unique<DuplicateKeyRule>());
    return rules;
}

} // namespace lavendertally::configurationcheck
