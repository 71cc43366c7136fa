#include "backends/internal/jsonformat.h"

#include "backends/internal/jsonanswerreader.h"

namespace lavendertally::backends {

std::unique_ptr<IAnswerReader> JsonFormat::makeReader() const
{
    return std::make_unique<JsonAnswerReader>();
}

} // namespace lavendertally::backends
