#pragma once

#include <memory>

namespace lavendertally::platform {

class IPlatform;
struct PlatformParts;

/// Makes the adapter to the users' platform.
class PlatformModule
{
public:
    static std::unique_ptr<IPlatform> makePlatform(const PlatformParts &parts);
};

} // namespace lavendertally::platform
