#include "configuration/internal/fragmentmerger.h"

#include "configuration/internal/configurationfragment.h"
#include "configuration/internal/diagnosticsink.h"
#include "configuration/types/configurationerror.h"

#include <optional>
#include <utility>

namespace lavendertally::configuration {

namespace {

/// Merges fragments, added in order of file name, and collects diagnostics of conflicts between
/// them.
class FragmentMerger
{
public:
    void add(const ConfigurationFragment &fragment)
    {
        DiagnosticSink sink(fragment.file);
        for (const auto &zone : fragment.zones) {
            if (!m_result.zones.insert(zone.value).second) {
                reportDuplicate(sink, zone);
            }
        }
        addNamed(fragment.services, m_result.services, sink);
        addNamed(fragment.pipelines, m_result.pipelines, sink);
        addNamed(fragment.teams, m_result.teams, sink);
        addObjective(fragment, sink);
        collect(sink);
    }

    /// Validates references from stages to services. All fragments must have been added before.
    void checkStages(const ConfigurationFragment &fragment)
    {
        DiagnosticSink sink(fragment.file);
        for (const auto &use : fragment.stageUses) {
            checkStage(use, sink);
        }
        collect(sink);
    }

    framework::Result<Configuration> finish()
    {
        if (!m_diagnostics.entries.empty()) {
            return framework::leaf::new_error(ConfigurationError::InvalidFile,
                                              std::move(m_diagnostics));
        }
        return std::move(m_result);
    }

private:
    template <typename T>
    static void reportDuplicate(DiagnosticSink &sink, const Located<T> &declaration)
    {
        sink.report(declaration.position, declaration.key,
                    "a name that is declared once in all files");
    }

    template <typename T, typename Id>
    static void addNamed(const std::vector<Located<T>> &declarations, std::map<Id, T> &target,
                         DiagnosticSink &sink)
    {
        for (const auto &declaration : declarations) {
            if (!target.emplace(declaration.value.id, declaration.value).second) {
                reportDuplicate(sink, declaration);
            }
        }
    }

    void addObjective(const ConfigurationFragment &fragment, DiagnosticSink &sink)
    {
        if (!fragment.objective) {
            return;
        }
        if (m_hasObjective) {
            sink.report(fragment.objective->position, fragment.objective->key,
                        "one objective in all files");
        }
        m_hasObjective = true;
        m_result.objective = fragment.objective->value;
    }

    void checkStage(const Located<StageUse> &use, DiagnosticSink &sink)
    {
        const auto service = m_result.services.find(use.value.service);
        if (service == m_result.services.end()) {
            sink.report(use.position, use.key,
                        "a declared service; '" + use.value.service.value() + "' is not one");
            return;
        }
        const bool generates = service->second.kind == ServiceKind::Generate;
        const bool limitsTokens = use.value.maxTokens > framework::TokenCount(0);
        if (generates != limitsTokens) {
            sink.report(use.position, use.key,
                        generates ? "max_tokens beside a service of kind generate"
                                  : "no max_tokens beside a service that generates none");
        }
        if (service->second.kind == ServiceKind::Action && !use.value.declaresIdempotent) {
            sink.report(use.position, use.key, "idempotent beside a service of kind action");
        }
    }

    void collect(const DiagnosticSink &sink)
    {
        const auto &entries = sink.diagnostics().entries;
        m_diagnostics.entries.insert(m_diagnostics.entries.end(), entries.begin(), entries.end());
    }

    Configuration m_result;
    FileDiagnostics m_diagnostics;
    bool m_hasObjective = false;
};

} // namespace

framework::Result<Configuration> mergeFragments(const FragmentMap &fragments)
{
    FragmentMerger merger;
    for (const auto &[file, fragment] : fragments) {
        merger.add(*fragment);
    }
    for (const auto &[file, fragment] : fragments) {
        merger.checkStages(*fragment);
    }
    return merger.finish();
}

} // namespace lavendertally::configuration
