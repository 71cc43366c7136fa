#pragma once

#include "configurationcheck/types/checkcontext.h"
#include "operatortool/types/checkentry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavendertally::configurationcheck {
struct ComparedConfiguration;
}

namespace lavendertally::operatortool {

class JsonPlaces;

/// Checks files of the platform's configuration (JSON) and of the product's own (YAML).
class FileCheck
{
public:
    /// \param gateways gateways that share the limits of services
    explicit FileCheck(std::uint32_t gateways);

    /// \param files text by file name. Each JSON file is a whole configuration; the YAML files
    /// together make up one.
    void check(const std::map<std::string, std::string> &files);

    /// \return whether differences can be shown: one checked file is JSON, and it has no errors
    bool isComparable() const { return m_checked.size() == 1 && m_checked.front().isValid; }

    /// \return the number of checked files that are JSON
    std::size_t jsonFiles() const { return m_checked.size(); }

    /// \return the checked file as one side of a comparison; for isComparable()
    configurationcheck::ComparedConfiguration comparable() const;

    /// Adds what the checked file changes; for isComparable().
    void compareWith(const configurationcheck::ComparedConfiguration &before);

    /// \return findings by file and position
    std::vector<CheckEntry> entries() const;

    /// \return whether \p text is JSON, by its file's name or else by its first character
    static bool isJson(const std::string &file, std::string_view text);

private:
    void checkYaml(const std::map<std::string, std::string> &files);
    void checkJson(const std::string &file, const std::string &text);

    /// A checked JSON file.
    struct CheckedFile
    {
        std::string file;
        std::string text;
        bool isValid = false;
    };

    void add(const std::string &file, const JsonPlaces &places,
             const std::vector<configurationcheck::Finding> &findings);

    configurationcheck::CheckContext m_context;
    std::vector<CheckedFile> m_checked;
    std::vector<CheckEntry> m_entries;
};

} // namespace lavendertally::operatortool
