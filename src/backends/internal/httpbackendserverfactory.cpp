#include "backends/internal/httpbackendserverfactory.h"

#include "backends/internal/actionformat.h"
#include "backends/internal/completionformat.h"
#include "backends/internal/encodeformat.h"
#include "backends/internal/httpbackendserver.h"
#include "backends/internal/rerankformat.h"
#include "backends/internal/retrieveformat.h"

namespace lavendertally::backends {

namespace {

std::unique_ptr<ICallFormat> makeFormat(configuration::ServiceKind kind,
                                        const framework::ModelId &model)
{
    switch (kind) {
    case configuration::ServiceKind::Encode:
        return std::make_unique<EncodeFormat>();
    case configuration::ServiceKind::Retrieve:
        return std::make_unique<RetrieveFormat>();
    case configuration::ServiceKind::Rerank:
        return std::make_unique<RerankFormat>();
    case configuration::ServiceKind::Generate:
        return std::make_unique<CompletionFormat>(model);
    case configuration::ServiceKind::Action:
        return std::make_unique<ActionFormat>();
    }
    return std::make_unique<ActionFormat>();
}

} // namespace

HttpBackendServerFactory::HttpBackendServerFactory(http::IHttpClient &client,
                                                   framework::Endpoint endpoint)
    : m_client(client), m_endpoint(std::move(endpoint))
{ }

std::unique_ptr<IBackendServer>
HttpBackendServerFactory::makeBackendServer(configuration::ServiceKind kind,
                                            const framework::ModelId &model)
{
    return std::make_unique<HttpBackendServer>(m_client, m_endpoint, makeFormat(kind, model));
}

} // namespace lavendertally::backends
