#pragma once

namespace lavendertally::configurationcheck {

class FindingList;
struct CheckContext;
struct ConfigurationDraft;

/// Judges one aspect of a configuration, in time linear in its size up to a logarithm.
class IConfigurationRule
{
public:
    virtual ~IConfigurationRule() = default;

    virtual void check(const ConfigurationDraft &draft, const CheckContext &context,
                       FindingList &findings) const = 0;
};

} // namespace lavendertally::configurationcheck
