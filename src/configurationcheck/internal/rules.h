#pragma once

#include <memory>
#include <vector>

namespace lavendertally::configurationcheck {

class IConfigurationRule;

using ConfigurationRules = std::vector<std::unique_ptr<IConfigurationRule>>;

/// Rules whose violation makes the daemon refuse a configuration; none uses the context.
ConfigurationRules makeErrorRules();
/// Rules for entries that can never match.
ConfigurationRules makeMatchRules();
/// Rules for limits that contradict each other.
ConfigurationRules makeLimitRules();

} // namespace lavendertally::configurationcheck
