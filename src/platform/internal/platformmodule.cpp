#include "platform/platformmodule.h"

#include "platform/internal/usersplatform.h"

namespace lavendertally::platform {

std::unique_ptr<IPlatform> PlatformModule::makePlatform(const PlatformParts &parts)
{
    return std::make_unique<UsersPlatform>(parts);
}

} // namespace lavendertally::platform
