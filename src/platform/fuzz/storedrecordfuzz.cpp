#include "platform/internal/backendservercodec.h"
#include "platform/internal/configurationcodec.h"
#include "platform/internal/storecodec.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace lavendertally;

/// Answers of the store, and the records in them: none of them ends the process.
// libFuzzer fixes the name of its entry point.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    [[maybe_unused]] const auto changes = platform::decodeChanges(input, framework::LogOffset(0));
    [[maybe_unused]] const auto page = platform::decodePage(input);
    [[maybe_unused]] const auto configuration = platform::decodeConfiguration(input);
    [[maybe_unused]] const auto server =
        platform::decodeBackendServer("id", input, framework::TimePoint(0));
    return 0;
}
