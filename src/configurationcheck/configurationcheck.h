#pragma once

#include "configurationcheck/types/finding.h"

#include <vector>

namespace lavendertally::configurationcheck {

class IEntryNames;
struct CheckContext;
struct ComparedConfiguration;
struct ConfigurationDraft;

/// \return what makes the daemon refuse \p draft; empty if it is valid
std::vector<Finding> findErrors(const ConfigurationDraft &draft, const IEntryNames &names);

/// \return entries that can never match, and limits that contradict each other
std::vector<Finding> findWarnings(const ConfigurationDraft &draft, const CheckContext &context,
                                  const IEntryNames &names);

/// \return what findDifferences() needs of \p draft
ComparedConfiguration compared(const ConfigurationDraft &draft);

/// \param before version in force
/// \param names names entries of \p after
/// \return what \p after changes, by meaning
std::vector<Finding> findDifferences(const ComparedConfiguration &before,
                                     const ComparedConfiguration &after, const IEntryNames &names);

} // namespace lavendertally::configurationcheck
