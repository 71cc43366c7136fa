#pragma once

namespace lavendertally::transport {

/// Path of stage calls. The request body is one encoded message; the response body is a sequence
/// of frames: chunks, then one result.
constexpr const char *StagePath = "/inner/v1/stage";
constexpr const char *InnerContentType = "application/x-protobuf";

} // namespace lavendertally::transport
