#pragma once

#include "framework/types/ids.h"

#include <functional>
#include <memory>

namespace lavendertally::configuration {

struct ConfigurationView;

/// Gives access to the configuration in force in this process. Its revision never decreases.
class IConfigurationStore
{
public:
    virtual ~IConfigurationStore() = default;

    /// \return an immutable view of the current revision; never null
    virtual std::shared_ptr<const ConfigurationView> current() const = 0;

    /// Registers an observer that is called after each change of the revision, on the thread that
    /// applied the change. A batch of records that is applied at once is reported once.
    virtual void onChange(std::function<void()> observer) = 0;
};

} // namespace lavendertally::configuration
