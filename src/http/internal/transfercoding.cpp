#include "http/internal/transfercoding.h"

#include "http/headerlookup.h"

namespace lavendertally::http {

bool hasReadableTransferCoding(const HttpHeaders &headers, bool isHttp11)
{
    constexpr std::string_view Field = "Transfer-Encoding";
    const auto coding = findHeader(headers, Field);
    return !coding
        || (isHttp11 && countHeaders(headers, Field) == 1 && sameHeaderName(*coding, "chunked"));
}

} // namespace lavendertally::http
