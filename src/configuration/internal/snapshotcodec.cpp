#include "configuration/internal/snapshotcodec.h"

#include "configuration/types/configurationerror.h"
#include "framework/types/errorcontext.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace lavendertally::configuration {

namespace {

using Json = nlohmann::json;

template <typename Id>
Json toJson(const std::set<Id> &ids)
{
    Json array = Json::array();
    for (const Id &id : ids) {
        array.push_back(id.value());
    }
    return array;
}

template <typename Id>
std::set<Id> readIds(const Json &array)
{
    std::set<Id> ids;
    for (const Json &item : array) {
        ids.insert(Id(item.get<std::string>()));
    }
    return ids;
}

framework::LogOffset readOffset(const Json &json)
{
    return framework::LogOffset(json.get_ref<const Json::number_unsigned_t &>());
}

Json filesToJson(const ReplicaData &data)
{
    Json files = Json::object();
    for (const auto &[name, file] : data.files) {
        files[name] = {{"text", file.text}, {"changed_at", file.changedAt.value()}};
    }
    return files;
}

Json removalsToJson(const ReplicaData &data)
{
    Json removed = Json::object();
    for (const auto &[name, offset] : data.removedFiles) {
        removed[name] = offset.value();
    }
    return removed;
}

Json outcomesToJson(const ReplicaData &data)
{
    Json outcomes = Json::array();
    for (const OperationOutcome &outcome : data.outcomes) {
        outcomes.push_back({{"operation", outcome.operation.value()},
                            {"accepted", outcome.accepted},
                            {"offset", outcome.offset.value()},
                            {"explanation", outcome.explanation}});
    }
    return outcomes;
}

OperationOutcome readOutcome(const Json &json)
{
    OperationOutcome outcome;
    outcome.operation = framework::OperationId(json.at("operation").get<std::string>());
    outcome.accepted = json.at("accepted").get<bool>();
    outcome.offset = readOffset(json.at("offset"));
    outcome.explanation = json.at("explanation").get<std::string>();
    return outcome;
}

ReplicaData readData(const Json &json)
{
    ReplicaData data;
    data.revision = readOffset(json.at("revision"));
    for (const auto &[name, file] : json.at("files").get_ref<const Json::object_t &>()) {
        data.files[name] = {file.at("text").get<std::string>(), readOffset(file.at("changed_at"))};
    }
    for (const auto &[name, offset] : json.at("removed_files").get_ref<const Json::object_t &>()) {
        data.removedFiles[name] = readOffset(offset);
    }
    data.removalHistoryStart = readOffset(json.at("removals_known_from"));
    data.zonesOutOfService = readIds<framework::AvailabilityZoneId>(json.at("zones_out"));
    data.hostsOutOfService = readIds<framework::HostId>(json.at("hosts_out"));
    for (const Json &outcome : json.at("verdicts")) {
        data.outcomes.push_back(readOutcome(outcome));
    }
    return data;
}

} // namespace

std::string encodeSnapshot(const ReplicaData &data)
{
    const Json json = {{"revision", data.revision.value()},
                       {"files", filesToJson(data)},
                       {"removed_files", removalsToJson(data)},
                       {"removals_known_from", data.removalHistoryStart.value()},
                       {"zones_out", toJson(data.zonesOutOfService)},
                       {"hosts_out", toJson(data.hostsOutOfService)},
                       {"verdicts", outcomesToJson(data)}};
    return json.dump();
}

framework::Result<ReplicaData> decodeSnapshot(const std::string &text)
{
    try {
        return readData(Json::parse(text));
    } catch (const Json::exception &exception) {
        return framework::leaf::new_error(ConfigurationError::InvalidRecord,
                                          framework::ErrorContext{exception.what()});
    }
}

} // namespace lavendertally::configuration
