#include "backends/internal/jsonformat.h"

#include "backends/internal/jsonresponsereader.h"

namespace lavendertally::backends {

std::unique_ptr<IResponseReader> JsonFormat::makeReader() const
{
    return std::make_unique<JsonResponseReader>();
}

} // namespace lavendertally::backends
