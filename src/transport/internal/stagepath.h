#pragma once

namespace lavendertally::transport {

/// HTTP path of stage calls. The request body is one encoded StageRequest; the response body is a
/// sequence of frames: any number of StageChunk, then one StageResult.
constexpr const char *StagePath = "/inner/v1/stage";
constexpr const char *InnerContentType = "application/x-protobuf";

} // namespace lavendertally::transport
