#pragma once

#include "configuration/internal/fileposition.h"
#include "configuration/types/filediagnostics.h"

#include <cstddef>
#include <string>
#include <utility>

namespace lavendertally::configuration {

/// Collects the diagnostics of one file.
class DiagnosticSink
{
public:
    explicit DiagnosticSink(std::string file) : m_file(std::move(file)) { }

    /// Adds a diagnostic; diagnostics beyond MaxDiagnostics are dropped.
    void report(FilePosition position, std::string key, std::string expected)
    {
        if (m_diagnostics.entries.size() < MaxDiagnostics) {
            m_diagnostics.entries.push_back(
                {m_file, position.line, position.column, std::move(key), std::move(expected)});
        }
    }

    bool isEmpty() const { return m_diagnostics.entries.empty(); }
    const std::string &file() const { return m_file; }
    const FileDiagnostics &diagnostics() const { return m_diagnostics; }

private:
    static constexpr std::size_t MaxDiagnostics = 20;

    std::string m_file;
    FileDiagnostics m_diagnostics;
};

} // namespace lavendertally::configuration
