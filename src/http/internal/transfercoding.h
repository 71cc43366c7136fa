#pragma once

#include "http/types/httpheaders.h"

namespace lavendertally::http {

/// \param isHttp11 whether the message is one of HTTP/1.1; earlier versions know no transfer
/// codings \return whether the body of a message has no transfer coding, or is sent in chunks and
/// has no further one
bool hasReadableTransferCoding(const HttpHeaders &headers, bool isHttp11);

} // namespace lavendertally::http
