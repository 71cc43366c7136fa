#include "http/internal/requestparser.h"
#include "http/types/httplimits.h"
#include "http/types/httprequesthead.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace lavendertally;
using http::RequestParser;

namespace {

constexpr std::int64_t MaxBody = 2000;

struct Outcome
{
    RequestParser::State state = RequestParser::State::NeedMore;
    std::string target;
    std::string body;
    bool operator==(const Outcome &) const = default;
};

/// Parses as a connection does that gets \p step bytes at a time.
Outcome parse(std::string_view input, std::size_t step)
{
    http::HttpLimits limits;
    limits.maxBody = framework::Bytes(MaxBody);
    limits.maxHeaders = framework::Bytes(1000);
    RequestParser parser(limits);
    Outcome outcome;
    std::size_t begin = 0;
    for (std::size_t end = 0;
         end < input.size() && outcome.state == RequestParser::State::NeedMore;) {
        end = std::min(end + step, input.size());
        std::size_t taken = 0;
        outcome.state = parser.feed(input.substr(begin, end - begin), taken);
        if (taken > end - begin) {
            std::abort();
        }
        begin += taken;
    }
    if (outcome.state == RequestParser::State::Complete) {
        outcome.body = parser.takeBody();
        outcome.target = parser.takeHead().target;
    }
    return outcome;
}

} // namespace

/// Requests and their chunks: a request reads the same in whatever pieces it arrives, and its body
/// is within the limit.
// libFuzzer fixes the name of its entry point.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    const Outcome whole = parse(input, input.size() + 1);
    const Outcome pieces = parse(input, 1 + size % 7);
    const bool bothComplete = whole.state == RequestParser::State::Complete
        && pieces.state == RequestParser::State::Complete;
    if (whole.body.size() > static_cast<std::size_t>(MaxBody)
        || (bothComplete && !(whole == pieces))) {
        std::abort();
    }
    return 0;
}
