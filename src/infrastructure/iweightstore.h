#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"

#include <functional>
#include <string>

namespace lavendertally::infrastructure {

/// The platform's store of model weights; it limits its downloads.
class IWeightStore
{
public:
    virtual ~IWeightStore() = default;

    /// Fetches the weights of a model. While the store asks to slow down, tries again after the
    /// time that it tells, as long as that falls within \p timeout.
    /// \param timeout longest time for all tries together
    /// \param callback gets the bytes, or InfrastructureError
    virtual void fetch(const framework::ModelId &model, framework::Milliseconds timeout,
                       std::function<void(framework::Result<std::string>)> callback) = 0;
};

} // namespace lavendertally::infrastructure
