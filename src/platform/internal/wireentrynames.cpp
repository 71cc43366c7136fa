#include "platform/internal/wireentrynames.h"

namespace lavendertally::platform {

namespace {

using configurationcheck::EntryField;
using configurationcheck::EntryPath;
using configurationcheck::EntrySection;

const char *sectionName(EntrySection section)
{
    switch (section) {
    case EntrySection::Version:
        return "version";
    case EntrySection::Routes:
        return "routes";
    case EntrySection::Services:
        return "services";
    case EntrySection::Limits:
        return "limits";
    case EntrySection::Teams:
        break;
    }
    return "tenants";
}

const char *fieldName(EntryField field)
{
    switch (field) {
    case EntryField::Name:
        return "name";
    case EntryField::HostName:
        return "hostname";
    case EntryField::Prefix:
        return "pathPrefix";
    case EntryField::Kind:
        return "routeKind";
    case EntryField::Timeout:
        return "timeoutMs";
    case EntryField::LatencyObjective:
        return "targetLatencyMs";
    case EntryField::Split:
        return "trafficSplit";
    case EntryField::MaxAttempts:
        return "maxAttempts";
    case EntryField::Stages:
        return "stages";
    case EntryField::IsPublic:
        return "public";
    case EntryField::Service:
        return "service";
    case EntryField::After:
        return "after";
    case EntryField::MaxConnections:
        return "maxConnections";
    case EntryField::ColdLimit:
        return "coldPerS";
    case EntryField::Pool:
        return "pieces";
    case EntryField::BatchSize:
        return "batchSize";
    case EntryField::Keys:
        return "apiKeys";
    case EntryField::Priority:
        return "priority";
    case EntryField::MaxHeaders:
        return "maxHeaderBytes";
    case EntryField::MaxBody:
        return "maxBodyBytes";
    case EntryField::HeaderTimeout:
        return "headerTimeoutMs";
    case EntryField::IdleTimeout:
        return "idleTimeoutMs";
    case EntryField::None:
        break;
    }
    return "";
}

std::string position(std::size_t index)
{
    return "[" + std::to_string(index) + "]";
}

} // namespace

std::string WireEntryNames::pathOf(const EntryPath &path) const
{
    std::string text = sectionName(path.section);
    if (path.index) {
        text += position(*path.index);
    }
    if (path.field == EntryField::Split) {
        return sharePath(text, path);
    }
    if (path.field != EntryField::None) {
        text += std::string(".") + fieldName(path.field);
    }
    if (path.item) {
        text += position(*path.item);
    }
    if (path.itemField != EntryField::None) {
        text += std::string(".") + fieldName(path.itemField);
    }
    return text;
}

std::string WireEntryNames::sharePath(const std::string &entry, const EntryPath &path) const
{
    const SharePositions &shares = m_shares.at(path.index.value());
    if (shares.empty()) {
        return entry + "." + fieldName(EntryField::Service);
    }
    std::string text = entry + "." + fieldName(EntryField::Split);
    if (path.item) {
        text += position(shares.at(*path.item));
    }
    if (path.itemField != EntryField::None) {
        text += std::string(".") + fieldName(path.itemField);
    }
    return text;
}

} // namespace lavendertally::platform
