"""Placement targets of each service, derived from the configuration."""

from rosemaryknot.values.placement import ServiceTarget, ZoneTarget
from rosemaryknot.version.tables import Service
from rosemaryknot.version.view import ConfigurationView

__all__ = ["placement_targets"]


def placement_targets(view: ConfigurationView | None) -> dict[str, ServiceTarget]:
    """Return the target of each service that has a placement.

    Parameters
    ----------
    view : ConfigurationView or None
        Current version; None before the first.

    Returns
    -------
    targets : dict of str to ServiceTarget
        Targets by service. Services without a placement are omitted: their instances
        are started and released by other means.
    """
    if view is None:
        return {}
    return {
        name: service_target(view, view.services[name])
        for name, zones in view.placements.items()
        if zones and name in view.services
    }


def service_target(view: ConfigurationView, service: Service) -> ServiceTarget:
    """Return the placement target of one service."""
    zones = tuple(
        ZoneTarget(
            zone,
            placement.count,
            placement.classes,
            placement.reclaimable_share,
            placement.price_ceiling_per_hour,
        )
        for zone, placement in sorted(view.placements[service.name].items())
    )
    return ServiceTarget(
        service.name,
        service.is_model,
        service.checks_fencing,
        service.timeout_s,
        zones,
    )
