#pragma once

#include "backends/internal/icallformat.h"

namespace lavendertally::backends {

/// Base class for services whose response is a single JSON object, passed on unchanged.
class JsonFormat : public ICallFormat
{
public:
    std::unique_ptr<IResponseReader> makeReader() const override;
};

} // namespace lavendertally::backends
