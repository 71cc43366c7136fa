#pragma once

#include "protocol/iframereader.h"

#include <cstddef>

namespace lavendertally::protocol {

/// Frame reader that rejects frames above a size limit.
class FrameReader final : public IFrameReader
{
public:
    void append(std::string_view bytes) override;
    framework::Result<std::optional<std::string>> next() override;

private:
    std::string m_buffer;
    std::size_t m_position = 0;
};

} // namespace lavendertally::protocol
