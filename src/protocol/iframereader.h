#pragma once

#include "framework/result.h"

#include <optional>
#include <string>
#include <string_view>

namespace lavendertally::protocol {

/// Splits a byte stream into frames. A frame is a payload with a prefix of four bytes: the length
/// of the payload as an unsigned integer in network byte order.
class IFrameReader
{
public:
    virtual ~IFrameReader() = default;

    /// Appends received bytes to the stream.
    virtual void append(std::string_view bytes) = 0;

    /// \return the payload of the next frame; nothing if more bytes are needed;
    /// ProtocolError::TooLarge if the frame exceeds the size limit, after which the stream is
    /// unusable
    virtual framework::Result<std::optional<std::string>> next() = 0;

    /// \return \p message as one frame, which must not exceed the size limit of the reader
    static std::string frame(std::string_view message);
};

} // namespace lavendertally::protocol
