#include "pipeline/internal/payloadbuilder.h"

#include "configuration/types/stage.h"
#include "framework/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lavendertally::pipeline {

PayloadBuilder::PayloadBuilder(std::string input) : m_input(std::move(input)) { }

void PayloadBuilder::addResult(const framework::StageId &stage, std::string result)
{
    m_outputs.push_back({stage, std::move(result)});
}

std::string PayloadBuilder::build(const configuration::Stage &stage) const
{
    // Input and results are serialized JSON and are concatenated without parsing them again.
    std::string payload = R"({"input":)" + m_input + R"(,"results":[)";
    bool first = true;
    for (const StageOutput &output : m_outputs) {
        if (std::find(stage.after.begin(), stage.after.end(), output.stage) == stage.after.end()) {
            continue;
        }
        payload += first ? "" : ",";
        payload += R"({"stage":)" + nlohmann::json(output.stage.value()).dump() + R"(,"result":)"
            + output.result + "}";
        first = false;
    }
    return payload + "]}";
}

std::uint64_t PayloadBuilder::prefixHash() const
{
    constexpr std::size_t PrefixLength = 256;
    return framework::stableHash(std::string_view(m_input).substr(0, PrefixLength));
}

} // namespace lavendertally::pipeline
