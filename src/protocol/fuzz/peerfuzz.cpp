#include "protocol/iframereader.h"
#include "protocol/ipeermessagecodec.h"
#include "protocol/protocolmodule.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace lavendertally;

/// Frames between daemons and the messages in them: what was decoded can be encoded, and decodes
/// again.
// libFuzzer fixes the name of its entry point.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto codec = protocol::ProtocolModule::makePeerCodec();
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    const auto frames = protocol::ProtocolModule::makeFrameReader();
    const std::size_t half = size / 2;
    frames->append(input.substr(0, half));
    frames->append(input.substr(half));
    while (true) {
        const auto frame = frames->next();
        if (!frame || !frame->has_value()) {
            return 0;
        }
        const auto message = codec->decode(**frame);
        if (message && !codec->decode(codec->encode(*message))) {
            std::abort();
        }
    }
}
