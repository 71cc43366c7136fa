#include "configuration/internal/yamlsettingsparser.h"

#include "configuration/internal/diagnosticsink.h"
#include "configuration/internal/scalartypes.h"
#include "configuration/internal/yamldocument.h"
#include "configuration/internal/yamlmapping.h"
#include "configuration/types/configurationerror.h"

namespace lavendertally::configuration {

namespace {

constexpr framework::Bytes MinRequestLimit{1024};
constexpr framework::Bytes MaxRequestLimit{64 * 1024 * 1024};
constexpr std::uint32_t MaxSharedRetries = 1000000;
constexpr std::uint32_t MaxExposureSlack = 1000000;
/// Less memory does not hold the process itself and one request of each kind.
constexpr framework::Bytes MinMemory{32 * 1024 * 1024};
constexpr framework::Bytes MaxMemory{std::int64_t{1024} * 1024 * 1024 * 1024};
/// Fewer descriptors do not hold the listeners, the links and a few clients.
constexpr std::uint32_t MinDescriptors = 128;
constexpr std::uint32_t MaxDescriptors = 1000000;
constexpr framework::Bytes MaxBodyRate{1024 * 1024};

void readIdentity(YamlMapping &root, DaemonSettings &settings)
{
    static const auto roleScalar = choiceType<DaemonRole>({{"entry", DaemonRole::Entry},
                                                           {"host", DaemonRole::Host},
                                                           {"gateway", DaemonRole::Gateway}});
    root.readRequired("role", roleScalar, settings.role);
    root.readRequired("id", idType<framework::DaemonId>(nameType()), settings.id);
    root.readRequired("host", idType<framework::HostId>(nameType()), settings.host);
    root.readRequired("availability_zone", idType<framework::AvailabilityZoneId>(nameType()),
                      settings.zone);
}

void readEndpoints(YamlMapping &root, DaemonSettings &settings)
{
    const auto own = endpointType(0);
    const auto peer = endpointType(1);
    root.readRequired("listen", own, settings.listen);
    root.readRequired("control_listen", own, settings.controlListen);
    root.readList("seed_peers", peer, settings.seedPeers);
    if (settings.role != DaemonRole::Gateway) {
        root.readRequired("log_service", peer, settings.logService);
        root.readRequired("host_list", peer, settings.hostList);
    }
}

void readGateway(YamlMapping &root, DaemonSettings &settings)
{
    if (settings.role != DaemonRole::Gateway) {
        return;
    }
    GatewaySettings &gateway = settings.gateway;
    root.readRequired("ready_listen", endpointType(0), gateway.readyListen);
    root.readRequired("metrics_listen", endpointType(0), gateway.metricsListen);
    root.readRequired("store", endpointType(1), gateway.store);
    root.readOptional("revocation_limit", durationType(), gateway.revocationLimit);
    root.readOptional("shutdown_grace", durationType(), gateway.shutdownGrace);
    root.readOptional("shared_retries", integerPartType(MaxSharedRetries), gateway.sharedRetries);
    root.readOptional("processor_share", coresType(), gateway.processorShare);
    root.readOptional("exposure_share", shareType(), gateway.exposureShare);
    root.readOptional("exposure_slack", integerPartType(MaxExposureSlack), gateway.exposureSlack);
    root.readOptional("rollback_limit", durationType(), gateway.rollbackLimit);
}

void readBackend(YamlMapping &root, DiagnosticSink &sink, DaemonSettings &settings)
{
    const auto node = root.find("backend");
    if (settings.role != DaemonRole::Host) {
        if (node) {
            sink.report(root.positionOf("backend"), "backend", "no backend but for the role host");
        }
        return;
    }
    if (!node) {
        sink.report(root.position(), "backend",
                    "the backend server beside a host process; the key is missing");
        return;
    }
    YamlMapping backend(*node, "backend", sink);
    backend.readRequired("endpoint", endpointType(1), settings.backend);
    backend.readRequired("service", idType<framework::ServiceId>(nameType()), settings.service);
    backend.reportUnknownKeys();
}

void readLimits(YamlMapping &root, DiagnosticSink &sink, DaemonSettings &settings)
{
    static const auto formatScalar = choiceType<framework::LogFormat>(
        {{"text", framework::LogFormat::Text}, {"json", framework::LogFormat::Json}});
    const auto duration = durationType();
    root.readOptional("log_format", formatScalar, settings.logFormat);
    root.readOptional("max_request", bytesType(MinRequestLimit, MaxRequestLimit),
                      settings.maxRequest);
    root.readOptional("memory_limit", bytesType(MinMemory, MaxMemory), settings.memoryLimit);
    root.readOptional("descriptor_limit", countType(MinDescriptors, MaxDescriptors),
                      settings.descriptorLimit);
    root.readOptional("min_body_rate", bytesType(framework::Bytes(1), MaxBodyRate),
                      settings.minBodyRate);
    root.readOptional("drain_timeout", duration, settings.drainTimeout);
    root.readOptional("log_retention", duration, settings.logRetention);
    root.readOptional("claim_window", duration, settings.claimWindow);
    if (settings.claimWindow >= settings.logRetention) {
        sink.report(root.positionOf("claim_window"), "claim_window",
                    "a duration shorter than log_retention");
    }
}

} // namespace

framework::Result<DaemonSettings> YamlSettingsParser::parse(const std::string &file,
                                                            const std::string &text) const
{
    DiagnosticSink sink(file);
    DaemonSettings settings;
    if (const auto document = parseDocument(text, sink)) {
        YamlMapping root(*document, "", sink);
        readIdentity(root, settings);
        readEndpoints(root, settings);
        readGateway(root, settings);
        readBackend(root, sink, settings);
        readLimits(root, sink, settings);
        root.reportUnknownKeys();
    }
    if (!sink.isEmpty()) {
        return framework::leaf::new_error(ConfigurationError::InvalidFile, sink.diagnostics());
    }
    return settings;
}

} // namespace lavendertally::configuration
