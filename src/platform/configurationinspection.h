#pragma once

#include "configurationcheck/types/configurationdraft.h"
#include "configurationcheck/types/finding.h"

#include <memory>
#include <string_view>
#include <vector>

namespace lavendertally::configurationcheck {
class IEntryNames;
struct CheckContext;
} // namespace lavendertally::configurationcheck

namespace lavendertally::platform {

/// What a text of the platform's configuration holds, and what is wrong with it.
struct ConfigurationInspection
{
    /// What could be read; complete if there is no error.
    configurationcheck::ConfigurationDraft draft;
    /// Names the entries of #draft as the text does.
    std::shared_ptr<const configurationcheck::IEntryNames> names;
    std::vector<configurationcheck::Finding> findings;

    /// \return whether the daemon refuses the text
    bool hasErrors() const;
};

/// Decodes a configuration and applies the error rules; the daemon refuses it on any error.
/// \param text the operators' configuration as the store holds it
ConfigurationInspection inspectConfiguration(std::string_view text);

/// Like the above, with the warnings that apply under \p context.
ConfigurationInspection inspectConfiguration(std::string_view text,
                                             const configurationcheck::CheckContext &context);

} // namespace lavendertally::platform
