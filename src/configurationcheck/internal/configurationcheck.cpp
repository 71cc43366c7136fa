#include "configurationcheck/configurationcheck.h"

#include "configurationcheck/internal/findinglist.h"
#include "configurationcheck/internal/iconfigurationrule.h"
#include "configurationcheck/internal/rules.h"
#include "configurationcheck/types/checkcontext.h"

namespace lavendertally::configurationcheck {

namespace {

void apply(const ConfigurationRules &rules, const ConfigurationDraft &draft,
           const CheckContext &context, FindingList &findings)
{
    for (const auto &rule : rules) {
        rule->check(draft, context, findings);
    }
}

} // namespace

std::vector<Finding> findErrors(const ConfigurationDraft &draft, const IEntryNames &names)
{
    FindingList findings(names);
    apply(makeErrorRules(), draft, {}, findings);
    return findings.take();
}

std::vector<Finding> findWarnings(const ConfigurationDraft &draft, const CheckContext &context,
                                  const IEntryNames &names)
{
    FindingList findings(names);
    apply(makeMatchRules(), draft, context, findings);
    apply(makeLimitRules(), draft, context, findings);
    return findings.take();
}

} // namespace lavendertally::configurationcheck
