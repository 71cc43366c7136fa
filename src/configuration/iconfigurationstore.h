#pragma once

#include "framework/types/ids.h"

#include <functional>
#include <memory>

namespace lavendertally::configuration {

struct ConfigurationView;

/// The configuration in force in this process. It only ever moves to a greater revision.
class IConfigurationStore
{
public:
    virtual ~IConfigurationStore() = default;

    /// \return the view in force; never null
    virtual std::shared_ptr<const ConfigurationView> current() const = 0;

    /// Registers a function that is called after each change of revision.
    virtual void onChange(std::function<void()> observer) = 0;
};

} // namespace lavendertally::configuration
