"""Imports of modules that are loaded when they are first used."""

import importlib.util
import sys
from importlib.machinery import ModuleSpec

__all__ = ["defer_imports"]


def defer_imports(*names: str) -> None:
    """Let modules be loaded when an attribute of them is first used, and not when imported.

    It is for modules that other libraries import and a program doesn't use. Modules that are loaded
    already, or don't exist, are left as they are.

    Parameters
    ----------
    names : str
        Full names; parent packages are imported.
    """
    for name in names:
        spec = None if name in sys.modules else importlib.util.find_spec(name)
        if spec is not None and spec.loader is not None:
            _defer(spec)


def _defer(spec: ModuleSpec) -> None:
    module = importlib.util.module_from_spec(spec)

    def load(attribute: str) -> object:
        vars(module).pop("__getattr__", None)
        assert spec.loader is not None
        spec.loader.exec_module(module)
        return getattr(module, attribute)

    vars(module)["__getattr__"] = load  # called for attributes that the module doesn't have yet
    sys.modules[spec.name] = module
    parent, _, child = spec.name.rpartition(".")
    if parent:
        setattr(sys.modules[parent], child, module)
