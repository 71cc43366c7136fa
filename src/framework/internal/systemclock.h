#pragma once

#include "framework/iclock.h"

namespace lavendertally::framework {

/// Clock of the operating system.
class SystemClock final : public IClock
{
public:
    TimePoint now() const override;
    TimePoint wallNow() const override;
};

} // namespace lavendertally::framework
