#include "platform/internal/configurationcodec.h"

#include "framework/types/errorcontext.h"
#include "platform/configurationinspection.h"
#include "platform/types/decodeerror.h"
#include "serving/types/servingconfiguration.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace lavendertally::platform {

namespace {

using configurationcheck::Finding;
using configurationcheck::Severity;

/// \return the first error with its place, and how many more there are
std::string summary(const std::vector<Finding> &findings)
{
    std::string text;
    std::size_t more = 0;
    for (const Finding &finding : findings) {
        if (finding.severity() != Severity::Error) {
            continue;
        }
        if (text.empty()) {
            text = (finding.path.empty() ? "configuration" : finding.path) + ": " + finding.reason;
        } else {
            ++more;
        }
    }
    return more == 0 ? text : text + " (and " + std::to_string(more) + " more errors)";
}

} // namespace

framework::Result<std::shared_ptr<const serving::ServingConfiguration>>
decodeConfiguration(std::string_view text)
{
    ConfigurationInspection inspection = inspectConfiguration(text);
    if (inspection.hasErrors()) {
        return framework::leaf::new_error(DecodeError::Malformed,
                                          framework::ErrorContext{summary(inspection.findings)});
    }
    configurationcheck::ConfigurationDraft &draft = inspection.draft;
    return std::shared_ptr<const serving::ServingConfiguration>(
        std::make_shared<serving::ServingConfiguration>(draft.version, std::move(draft.routes),
                                                        std::move(draft.services), draft.limits,
                                                        std::move(draft.teams)));
}

std::optional<framework::ConfigurationVersion> decodeConfigurationVersion(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const auto version = json.is_object() ? json.find("version") : json.end();
    if (version == json.end() || !version->is_number_unsigned()) {
        return std::nullopt;
    }
    return framework::ConfigurationVersion(version->get<std::uint64_t>());
}

} // namespace lavendertally::platform
