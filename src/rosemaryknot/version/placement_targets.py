"""What a version of the configuration wants of each service's placement."""

from rosemaryknot.values.placement import ServiceTarget, ZoneTarget
from rosemaryknot.version.tables import Service
from rosemaryknot.version.view import ConfigurationView

__all__ = ["placement_targets"]


def placement_targets(view: ConfigurationView | None) -> dict[str, ServiceTarget]:
    """Return the target of each service that has a placement.

    Parameters
    ----------
    view : ConfigurationView or None
        The version in force; None before the first.

    Returns
    -------
    targets : dict of str to ServiceTarget
        By service. One without a placement is none of placement's business: its
        instances are started and released by others.
    """
    if view is None:
        return {}
    return {
        name: service_target(view, view.services[name])
        for name, zones in view.placements.items()
        if zones and name in view.services
    }


def service_target(view: ConfigurationView, service: Service) -> ServiceTarget:
    """Return the target of one service."""
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
