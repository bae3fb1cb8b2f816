"""Applies patches to the operator's configuration."""

from finchladder.cluster.configuration.schema import ITEM_PROPERTIES, REDACTED, Document


class UnnamedItemsError(Exception):
    """A patch refers to items by name in a value that is not a list of named items."""

    def __init__(self, kind: str) -> None:
        # An unknown kind is redacted, because it may be a misplaced API key.
        super().__init__(f"{kind if kind in ITEM_PROPERTIES else REDACTED}: is not a list of named items")


def apply_patch(document: Document, change: Document) -> Document:
    """Applies `remove`, then `upsert` by item name; a replaced item keeps its position.

    Raises:
        UnnamedItemsError: A value of the patch or of the stored configuration is not a list of named items.
    """
    result = dict(document)
    result["version"] = change["version"]
    for kind, names in change.get("remove", {}).items():
        if kind in result:  # otherwise an empty list of tenants would be created, which makes routes private
            removed = set(names)
            result[kind] = [
                item for item in _require_named_items(kind, result[kind]) if item["name"] not in removed
            ]
    for kind, items in change.get("upsert", {}).items():
        if isinstance(items, list):
            merged = [
                *_require_named_items(kind, result.get(kind, [])),
                *_require_named_items(kind, items),
            ]
            result[kind] = list({item["name"]: item for item in merged}.values())
        else:
            result[kind] = items
    return result


def _require_named_items(kind: str, items: object) -> list[Document]:
    if not isinstance(items, list) or not all(_has_name(item) for item in items):
        raise UnnamedItemsError(kind)
    return items


def _has_name(item: object) -> bool:
    return isinstance(item, dict) and isinstance(item.get("name"), str)
