#include "configuration/internal/yamlmapping.h"

#include <utility>

namespace lavendertally::configuration {

YamlMapping::YamlMapping(const YAML::Node &node, std::string path, DiagnosticSink &sink)
    : m_path(std::move(path)), m_sink(sink), m_position(toPosition(node.Mark()))
{
    if (node.IsMap()) {
        collect(node);
        return;
    }
    m_sink.report(m_position, m_path, "a mapping of keys to values");
}

void YamlMapping::collect(const YAML::Node &node)
{
    for (const auto &pair : node) {
        const FilePosition position = toPosition(pair.first.Mark());
        if (!pair.first.IsScalar()) {
            m_sink.report(position, m_path, "a plain word as key");
            continue;
        }
        const std::string &key = pair.first.Scalar();
        if (!m_values.emplace(key, pair.second).second) {
            m_sink.report(position, pathOf(key), "each key at most once");
        }
        m_keyPositions.emplace(key, position);
    }
}

std::optional<YAML::Node> YamlMapping::find(const std::string &key)
{
    m_knownKeys.insert(key);
    const auto found = m_values.find(key);
    return found == m_values.end() ? std::nullopt : std::optional(found->second);
}

std::optional<YAML::Node> YamlMapping::require(const std::string &key, const std::string &expected)
{
    auto node = find(key);
    if (!node) {
        m_sink.report(m_position, pathOf(key), expected + "; the key is missing");
    }
    return node;
}

std::vector<YAML::Node> YamlMapping::list(const std::string &key)
{
    const auto node = find(key);
    if (!node) {
        return {};
    }
    if (!node->IsSequence()) {
        m_sink.report(positionOf(key), pathOf(key), "a list");
        return {};
    }
    return {node->begin(), node->end()};
}

std::string YamlMapping::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

std::string YamlMapping::itemPath(const std::string &key, std::size_t index) const
{
    return pathOf(key) + "[" + std::to_string(index) + "]";
}

FilePosition YamlMapping::positionOf(const std::string &key) const
{
    const auto found = m_values.find(key);
    if (found == m_values.end()) {
        return m_position;
    }
    // yaml-cpp gives an empty value the position of the next token.
    return found->second.IsNull() ? m_keyPositions.at(key) : toPosition(found->second.Mark());
}

void YamlMapping::reportUnknownKeys()
{
    std::string expected = "one of the keys";
    for (const std::string &key : m_knownKeys) {
        expected += " " + key;
    }
    for (const auto &[key, position] : m_keyPositions) {
        if (!m_knownKeys.contains(key)) {
            m_sink.report(position, pathOf(key), expected);
        }
    }
}

} // namespace lavendertally::configuration
