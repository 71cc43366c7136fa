#pragma once

#include "configuration/internal/diagnosticsink.h"
#include "configuration/internal/scalartype.h"
#include "configuration/internal/yamlposition.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lavendertally::configuration {

/// Reads a mapping of a file against the keys that it may have. Values that do not fit are
/// reported and leave the target as it is.
class YamlMapping
{
public:
    /// \param path path of the key whose value this is; empty for the root
    /// \param sink outlives this object
    YamlMapping(const YAML::Node &node, std::string path, DiagnosticSink &sink);

    template <typename T>
    void readRequired(const std::string &key, const ScalarType<T> &type, T &target)
    {
        const auto node = require(key, type.expected);
        if (node) {
            readScalar(*node, positionOf(key), pathOf(key), type, target);
        }
    }

    template <typename T>
    void readOptional(const std::string &key, const ScalarType<T> &type, T &target)
    {
        const auto node = find(key);
        if (node) {
            readScalar(*node, positionOf(key), pathOf(key), type, target);
        }
    }

    /// Reads a list of scalars; an absent key is an empty list.
    template <typename T>
    void readList(const std::string &key, const ScalarType<T> &type, std::vector<T> &target)
    {
        const std::vector<YAML::Node> items = list(key);
        for (std::size_t i = 0; i < items.size(); ++i) {
            T value{};
            if (readScalar(items[i], toPosition(items[i].Mark()), itemPath(key, i), type, value)) {
                target.push_back(std::move(value));
            }
        }
    }

    /// \return the value of a key, if it is there
    std::optional<YAML::Node> find(const std::string &key);
    /// \return the value of a key; reports one that is not there
    std::optional<YAML::Node> require(const std::string &key, const std::string &expected);
    /// \return the items of a list; an absent key is an empty list
    std::vector<YAML::Node> list(const std::string &key);

    bool has(const std::string &key) const { return m_values.contains(key); }
    std::string pathOf(const std::string &key) const;
    std::string itemPath(const std::string &key, std::size_t index) const;
    FilePosition position() const { return m_position; }
    /// \return position of the value of a key; of the key when the value is empty, and of the
    /// mapping when the key is not there
    FilePosition positionOf(const std::string &key) const;

    /// Reports the keys that nothing has asked for.
    void reportUnknownKeys();

    /// Reads one scalar.
    /// \param position where a value that does not fit is reported
    /// \return whether it fits
    template <typename T>
    bool readScalar(const YAML::Node &node, FilePosition position, const std::string &path,
                    const ScalarType<T> &type, T &target)
    {
        std::optional<T> value;
        if (node.IsScalar()) {
            value = type.parse(node.Scalar());
        }
        if (!value) {
            m_sink.report(position, path, type.expected);
            return false;
        }
        target = std::move(*value);
        return true;
    }

private:
    void collect(const YAML::Node &node);

    std::string m_path;
    DiagnosticSink &m_sink;
    FilePosition m_position;
    std::map<std::string, YAML::Node> m_values;
    std::map<std::string, FilePosition> m_keyPositions;
    std::set<std::string> m_knownKeys;
};

} // namespace lavendertally::configuration
