#include "backends/internal/completionformat.h"

#include "backends/internal/completionreader.h"
#include "backends/internal/payloadview.h"
#include "backends/types/backendcall.h"

namespace lavendertally::backends {

namespace {

/// \return the documents of the latest stage that returned any, each ended by a newline, then the
/// caller's input text
std::string prompt(const PayloadView &payload)
{
    std::string text;
    const nlohmann::json *documents = payload.latestResult("documents");
    if (documents != nullptr && documents->is_array()) {
        for (const nlohmann::json &document : *documents) {
            text += document.is_object() ? document.value("text", std::string()) : document.dump();
            text += '\n';
        }
    }
    return text + payload.inputText();
}

} // namespace

CompletionFormat::CompletionFormat(framework::ModelId model) : m_model(std::move(model)) { }

framework::Result<std::string> CompletionFormat::requestBody(const BackendCall &call) const
{
    BOOST_LEAF_AUTO(payload, PayloadView::parse(call.payload));
    return nlohmann::json{{"model", m_model.value()},
                          {"prompt", prompt(payload)},
                          {"max_tokens", call.maxTokens.value()},
                          {"stream", true},
                          {"priority", static_cast<int>(call.priority)}}
        .dump();
}

std::unique_ptr<IResponseReader> CompletionFormat::makeReader() const
{
    return std::make_unique<CompletionReader>();
}

} // namespace lavendertally::backends
