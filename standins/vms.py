"""VM list of the platform stand-in, which shows changes with a lag."""

from dataclasses import dataclass, field
from typing import Any

from .http import ControlError

STATES = ("live", "leaving")


@dataclass(slots=True)
class VmList:
    """The declared VMs and the versions of the list by the time of their change."""

    declared: dict[str, dict[str, Any]]
    lag_s: float
    history: list[tuple[float, dict[str, dict[str, Any]]]] = field(default_factory=list)

    def visible(self, now_s: float) -> list[dict[str, Any]]:
        """Return the list as of `lag_s` before `now_s`."""
        while len(self.history) > 1 and self.history[1][0] <= now_s - self.lag_s:
            self.history.pop(0)
        current = self.history[0][1] if self.history else self.declared
        return list(current.values())

    def set_states(self, states: Any, now_s: float) -> None:
        """Change states of VMs; a removed VM is listed again. Raises ControlError."""
        if not isinstance(states, dict):
            raise ControlError("vm_state must be an object")
        changed = dict(self._latest(now_s))
        for vm, state in states.items():
            if vm not in self.declared or state not in STATES:
                raise ControlError(f"no such VM or state: {vm}")
            changed[vm] = {**self.declared[vm], "state": state}
        self.history.append((now_s, changed))

    def remove(self, vms: Any, now_s: float) -> None:
        """Remove VMs from the list. Raises ControlError."""
        if not isinstance(vms, list):
            raise ControlError("remove_vm must be a list")
        kept = {vm: item for vm, item in self._latest(now_s).items() if vm not in vms}
        self.history.append((now_s, kept))

    def _latest(self, now_s: float) -> dict[str, dict[str, Any]]:
        if not self.history:
            self.history.append((now_s - self.lag_s, self.declared))
        return self.history[-1][1]


def parse_vms(items: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Return the declared VMs by name."""
    fields = ("vm", "zone", "fabric_domain", "address", "accelerators")
    return {
        item["vm"]: {
            **{name: item[name] for name in fields},
            "state": item.get("state", STATES[0]),
        }
        for item in items
    }
