#pragma once

#include "backends/internal/icallformat.h"

namespace lavendertally::backends {

/// Base of services whose answer is one JSON object, handed on as it is.
class JsonFormat : public ICallFormat
{
public:
    std::unique_ptr<IAnswerReader> makeReader() const override;
};

} // namespace lavendertally::backends
