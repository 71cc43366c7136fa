#include "http/internal/responseparser.h"
#include "http/types/httpresponsehead.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace lavendertally;
using http::ResponseParser;

namespace {

struct Outcome
{
    ResponseParser::State state = ResponseParser::State::NeedMore;
    int status = 0;
    http::HttpHeaders headers;
    std::string body;
};

Outcome parse(std::string_view input, std::size_t step, bool bodiless)
{
    ResponseParser parser(bodiless);
    Outcome outcome;
    std::size_t begin = 0;
    for (std::size_t end = 0;
         end < input.size() && outcome.state == ResponseParser::State::NeedMore;) {
        end = std::min(end + step, input.size());
        std::size_t taken = 0;
        outcome.state = parser.feed(input.substr(begin, end - begin), taken);
        if (taken > end - begin) {
            std::abort();
        }
        begin += taken;
        if (parser.hasHead() && outcome.headers.empty()) {
            // Later changes of the head would not reach a client.
            outcome.headers = parser.head().headers;
        }
        outcome.body += parser.takeBody();
    }
    if (outcome.state == ResponseParser::State::NeedMore) {
        outcome.state = parser.feedEnd();
    }
    outcome.status = parser.hasHead() ? parser.head().status : 0;
    return outcome;
}

} // namespace

/// Responses and their chunks: a response reads the same in whatever pieces it arrives.
// libFuzzer fixes the name of its entry point.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    const bool bodiless = size % 5 == 0;
    const Outcome whole = parse(input, input.size() + 1, bodiless);
    const Outcome pieces = parse(input, 1 + size % 7, bodiless);
    const bool isComplete = whole.state == ResponseParser::State::Complete;
    const bool isSame = whole.status == pieces.status && whole.headers == pieces.headers
        && whole.body == pieces.body;
    if (isComplete != (pieces.state == ResponseParser::State::Complete)
        || (isComplete && !isSame)) {
        std::abort();
    }
    return 0;
}
