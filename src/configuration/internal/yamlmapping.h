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

/// Reads a YAML mapping and keeps track of the keys that are read, so that unknown keys can be
/// reported. Invalid values are reported and leave the target unchanged.
class YamlMapping
{
public:
    /// \param path key path of this mapping, used in diagnostics; empty for the root
    /// \param sink receives diagnostics; must outlive this object
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

    /// Reads a list of scalars; an absent key reads as an empty list.
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

    /// \return the value of a key, or nothing when the key is absent
    std::optional<YAML::Node> find(const std::string &key);
    /// Like find(), but reports an absent key.
    std::optional<YAML::Node> require(const std::string &key, const std::string &expected);
    /// \return the items of a list; empty when the key is absent or its value is not a list, which
    /// is reported
    std::vector<YAML::Node> list(const std::string &key);

    bool has(const std::string &key) const { return m_values.contains(key); }
    std::string pathOf(const std::string &key) const;
    std::string itemPath(const std::string &key, std::size_t index) const;
    FilePosition position() const { return m_position; }
    /// \return the position of the value of a key; that of the key when the value is empty, and
    /// that of the mapping when the key is absent
    FilePosition positionOf(const std::string &key) const;

    /// Reports the keys that were not read. Call this after all keys were read.
    void reportUnknownKeys();

    /// Reads one scalar.
    /// \param position position at which an invalid value is reported
    /// \return whether the value is valid
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
