#include "admission/internal/placeadmission.h"

#include <algorithm>

namespace lavendertally::admission {

PlaceAdmission::PlaceAdmission(const IServiceCapacity &capacity, framework::IRandom &random,
                               const PlaceLimits &limits)
    : m_capacity(capacity), m_random(random), m_limits(limits)
{ }

ServicePlaces &PlaceAdmission::places(const framework::ServiceId &service)
{
    std::unique_ptr<ServicePlaces> &places = m_services[service];
    if (!places) {
        places = std::make_unique<ServicePlaces>(service, m_capacity, m_random, m_limits);
    }
    return *places;
}

PlaceDecision PlaceAdmission::offer(const PlaceRequest &request, framework::TimePoint now)
{
    return places(request.service).offer(request, now);
}

void PlaceAdmission::cancelWaiting(const PlaceRequest &request)
{
    places(request.service).cancelWaiting(request.key);
}

void PlaceAdmission::callStarted(const framework::ServiceId &service,
                                 const framework::BackendServerId &server,
                                 framework::TimePoint /*now*/)
{
    places(service).load().callStarted(server);
}

void PlaceAdmission::callEnded(const framework::ServiceId &service,
                               const framework::BackendServerId &server, bool isRefused,
                               framework::TimePoint now)
{
    places(service).load().callEnded(server, isRefused, now);
}

void PlaceAdmission::answered(const PlaceRequest &request, framework::Milliseconds serviceTime,
                              framework::TimePoint now)
{
    places(request.service).answered(request, serviceTime, now);
}

void PlaceAdmission::observeLoad(const framework::ServiceId &service,
                                 const framework::BackendServerId &server, const ReportedLoad &load,
                                 framework::TimePoint now)
{
    places(service).load().observe(server, load, now);
}

void PlaceAdmission::observeNoLoad(const framework::ServiceId &service, framework::TimePoint now)
{
    places(service).load().observeNoLoad(now);
}

ReturnTiming PlaceAdmission::noteArrival(const PlaceRequest &request, framework::TimePoint now)
{
    return places(request.service).noteArrival(request, now);
}

framework::Milliseconds PlaceAdmission::returnTime(const PlaceRequest &request,
                                                   framework::Milliseconds wait,
                                                   framework::TimePoint now)
{
    return places(request.service).returnTime(request, wait, now);
}

std::vector<PlaceDecision> PlaceAdmission::takeDecisions(framework::TimePoint now)
{
    std::vector<PlaceDecision> decisions;
    for (const auto &[service, places] : m_services) {
        places->takeDecisions(now, decisions);
    }
    return decisions;
}

framework::TimePoint PlaceAdmission::nextWake(framework::TimePoint now) const
{
    const bool hasWaiting =
        std::any_of(m_services.begin(), m_services.end(),
                    [](const auto &entry) { return entry.second->hasWaiting(); });
    return hasWaiting ? now + m_limits.refreshInterval : framework::TimePoint::never();
}

} // namespace lavendertally::admission
