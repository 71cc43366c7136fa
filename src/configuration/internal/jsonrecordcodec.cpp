#include "configuration/internal/jsonrecordcodec.h"

#include "configuration/types/configurationerror.h"
#include "configuration/valueparsing.h"
#include "framework/types/errorcontext.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lavendertally::configuration {

namespace {

using Json = nlohmann::json;

constexpr const char *ApplyFilesType = "apply_files";
constexpr const char *ZoneType = "zone";
constexpr const char *HostType = "host";
constexpr const char *SnapshotType = "snapshot";

Json toJson(const ApplyFiles &change)
{
    Json files = Json::object();
    for (const auto &[name, text] : change.files) {
        files[name] = text ? Json(*text) : Json();
    }
    return {{"type", ApplyFilesType}, {"base", change.base.value()}, {"files", files}};
}

Json toJson(const SetZoneOutOfService &change)
{
    return {{"type", ZoneType}, {"zone", change.zone.value()}, {"out", change.isOutOfService}};
}

Json toJson(const SetHostOutOfService &change)
{
    return {{"type", HostType}, {"host", change.host.value()}, {"out", change.isOutOfService}};
}

Json toJson(const OperatorChange &change)
{
    Json json = std::visit([](const auto &detail) { return toJson(detail); }, change.change);
    json["operation"] = change.operation.value();
    return json;
}

Json toJson(const SnapshotRecord &record)
{
    return {{"type", SnapshotType}, {"revision", record.revision.value()}, {"state", record.state}};
}

framework::LogOffset readOffset(const Json &json)
{
    // get() would silently convert a negative or fractional number to a different offset.
    return framework::LogOffset(json.get_ref<const Json::number_unsigned_t &>());
}

std::string readName(const Json &json)
{
    const std::string &name = json.get_ref<const std::string &>();
    if (!isValidName(name)) {
        throw Json::other_error::create(0, "not a valid name", &json);
    }
    return name;
}

ApplyFiles readApplyFiles(const Json &json)
{
    ApplyFiles change;
    change.base = readOffset(json.at("base"));
    for (const auto &[name, text] : json.at("files").get_ref<const Json::object_t &>()) {
        change.files[name] = text.is_null() ? std::nullopt : std::optional(text.get<std::string>());
    }
    return change;
}

OperatorChange readChange(const std::string &type, const Json &json)
{
    OperatorChange change;
    change.operation = framework::OperationId(readName(json.at("operation")));
    if (type == ApplyFilesType) {
        change.change = readApplyFiles(json);
    } else if (type == ZoneType) {
        change.change = SetZoneOutOfService{
            framework::AvailabilityZoneId(readName(json.at("zone"))), json.at("out").get<bool>()};
    } else if (type == HostType) {
        change.change = SetHostOutOfService{framework::HostId(readName(json.at("host"))),
                                            json.at("out").get<bool>()};
    } else {
        throw Json::other_error::create(0, "unknown type of record", &json);
    }
    return change;
}

ControlRecordContent readContent(const Json &json)
{
    const std::string type = json.at("type").get<std::string>();
    if (type == SnapshotType) {
        return SnapshotRecord{readOffset(json.at("revision")), json.at("state").get<std::string>()};
    }
    return readChange(type, json);
}

} // namespace

framework::Result<std::string> JsonRecordCodec::encode(const ControlRecordContent &content) const
{
    try {
        return std::visit([](const auto &detail) { return toJson(detail).dump(); }, content);
    } catch (const Json::exception &exception) {
        return framework::leaf::new_error(ConfigurationError::InvalidRecord,
                                          framework::ErrorContext{exception.what()});
    }
}

framework::Result<ControlRecordContent> JsonRecordCodec::decode(const std::string &data) const
{
    try {
        return readContent(Json::parse(data));
    } catch (const Json::exception &exception) {
        return framework::leaf::new_error(ConfigurationError::InvalidRecord,
                                          framework::ErrorContext{exception.what()});
    }
}

} // namespace lavendertally::configuration
